import {declareMatrix} from './declare_matrix.js';

declareMatrix(0, 8);
