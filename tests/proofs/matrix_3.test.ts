import {declareMatrix} from './declare_matrix.js';

declareMatrix(2, 8);
