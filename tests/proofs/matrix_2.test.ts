import {declareMatrix} from './declare_matrix.js';

declareMatrix(1, 8);
